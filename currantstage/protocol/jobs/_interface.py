"""HTTP API for jobs: paths, bodies and statuses."""

from __future__ import annotations

import msgspec
from msgspec import Struct

from currantstage.protocol._errors import DecodeError
from currantstage.protocol.jobs._calls import CallAccess, CallRefusal, JobBody
from currantstage.protocol.jobs._job_check import check_job
from currantstage.state.jobs import JobState
from currantstage.util import UndecodableError, decode_json

#: Path of a queue, where ``GET`` returns the number of waiting jobs.
QUEUE_PATH = "/v1/queues/<queue:str>/jobs"
#: Path of a job.
JOB_PATH = "/v1/queues/<queue:str>/jobs/<job:str>"
#: Header with the team's key.
JOB_KEY_HEADER = "currantstage-key"

STATUS_OF_REFUSAL = {
    CallRefusal.NO_CONFIGURATION: 503,
    CallRefusal.NO_SUCH_QUEUE: 404,
    CallRefusal.UNKNOWN_KEY: 401,
    CallRefusal.NO_SUCH_JOB: 410,
    CallRefusal.MALFORMED: 400,
    CallRefusal.NOT_STORABLE: 413,
    CallRefusal.UNAVAILABLE: 503,
    CallRefusal.IN_DOUBT: 504,
}


class JobAnswer(Struct, frozen=True, omit_defaults=True):
    """Body of every response.

    Parameters
    ----------
    state : JobState, optional
        Progress of the job.
    waiting : int, optional
        Number of jobs in the queue that have not started a task.
    refusal : CallRefusal, optional
        Reason why the call failed; only a call with ``in-doubt`` may have taken
        effect.
    """

    state: JobState | None = None
    waiting: int | None = None
    refusal: CallRefusal | None = None


def access_of_method(method: str) -> CallAccess:
    """Return what a call by an HTTP method does with jobs.

    >>> access_of_method("GET")
    <CallAccess.READ: 'read'>
    """
    return CallAccess.READ if method == "GET" else CallAccess.WRITE


def decode_job_body(body: bytes) -> JobBody:
    """Decode the body of a submission; raises `DecodeError`.

    >>> decode_job_body(b'{"spec": "sort", "steps": [{"task_count": 2}]}').spec
    'sort'
    """
    try:
        decoded = decode_json(body, JobBody)
    except UndecodableError as error:
        raise DecodeError(str(error)) from error
    check_job(decoded)
    return decoded


def encode_answer(answer: JobAnswer) -> bytes:
    """Encode a response body."""
    return msgspec.json.encode(answer)


def decode_answer(body: bytes) -> JobAnswer:
    """Decode a response body; raises `DecodeError`."""
    try:
        return decode_json(body, JobAnswer)
    except UndecodableError as error:
        raise DecodeError(str(error)) from error
