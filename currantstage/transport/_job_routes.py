"""HTTP routes of the API for jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from returns.result import Failure, Result
from sanic import HTTPResponse

from currantstage.protocol import DecodeError
from currantstage.protocol.jobs import (
    JOB_KEY_HEADER,
    JOB_PATH,
    QUEUE_PATH,
    STATUS_OF_REFUSAL,
    CallRefusal,
    JobAnswer,
    QueueTarget,
    access_of_method,
    decode_job_body,
    encode_answer,
)
from currantstage.state import QueueId
from currantstage.state.jobs import JobId, is_job_id

if TYPE_CHECKING:
    from sanic import Request, Sanic

    from currantstage.protocol.jobs import AdmittedCall, JobService


def add_job_routes(app: Sanic[Any, Any], service: JobService) -> None:
    """Serve the HTTP API for jobs through `service`."""

    async def handle_job(request: Request, queue: str, job: str) -> HTTPResponse:
        admitted = await _admit(request, queue, service)
        if isinstance(admitted, Failure):
            return _job_response(admitted.failure(), service)
        if not is_job_id(job):
            return _job_response(CallRefusal.MALFORMED, service)
        return await _handle_job(request, service, admitted.unwrap(), JobId(job))

    async def handle_queue(request: Request, queue: str) -> HTTPResponse:
        admitted = await _admit(request, queue, service)
        if isinstance(admitted, Failure):
            return _job_response(admitted.failure(), service)
        count = await service.count_waiting(admitted.unwrap())
        if isinstance(count, CallRefusal):
            return _job_response(count, service)
        return _job_response(JobAnswer(waiting=count), service)

    app.add_route(handle_job, JOB_PATH, methods=["GET", "PUT", "DELETE"], name="job")
    app.add_route(handle_queue, QUEUE_PATH, methods=["GET"], name="job-queue")


async def _admit(
    request: Request, queue: str, service: JobService
) -> Result[AdmittedCall, CallRefusal]:
    key = request.headers.get(JOB_KEY_HEADER, "")
    access = access_of_method(request.method)
    return await service.admit(QueueTarget(QueueId(queue)), key, None, access)


async def _handle_job(
    request: Request, service: JobService, call: AdmittedCall, job: JobId
) -> HTTPResponse:
    if request.method == "PUT":
        try:
            body = decode_job_body(request.body)
        except DecodeError:
            return _job_response(CallRefusal.MALFORMED, service)
        refusal = await service.submit(call, job, body)
        return _job_response(refusal or JobAnswer(), service)
    if request.method == "DELETE":
        refusal = await service.cancel(call, job)
        return _job_response(refusal or JobAnswer(), service)
    state = await service.show(call, job)
    if isinstance(state, CallRefusal):
        return _job_response(state, service)
    return _job_response(JobAnswer(state=state), service)


def _job_response(
    outcome: JobAnswer | CallRefusal, service: JobService
) -> HTTPResponse:
    status = 200
    headers = {}
    if isinstance(outcome, CallRefusal):
        status = STATUS_OF_REFUSAL[outcome]
        if status == 503:
            headers["retry-after"] = str(service.retry_after_s())
        outcome = JobAnswer(refusal=outcome)
    return HTTPResponse(
        encode_answer(outcome), status, headers, content_type="application/json"
    )
