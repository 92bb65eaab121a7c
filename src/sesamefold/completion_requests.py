"""Completions for the requests of callers, new or resumed."""

import hashlib
import secrets

from sesamefold import admission
from sesamefold import completions
from sesamefold import configuration
from sesamefold import deadline as deadlines
from sesamefold import exceptions
from sesamefold import handles
from sesamefold import prompts
from sesamefold import services
from sesamefold import state as states


def create_completion(
    state: states.GatewayState,
    slots: admission.Admission,
    customer: configuration.Customer,
    prompt: prompts.Prompt,
    body: bytes,
    deadline: deadlines.Deadline,
    resume_handle: str = "",
    offset: int = 0,
) -> completions.Completion:
    """Return the completion for a request, new or resumed.

    `resume_handle` names the request to resume and is empty for a new one,
    and `offset` is the number of tokens that the caller has received. Raises
    `exceptions.RequestError` and `exceptions.DependencyDown`.
    """
    model, model_services = services.find_model(state, prompt.model_or_service)
    body_sha256 = hashlib.sha256(body).hexdigest()
    if resume_handle:
        return _create_resumed_completion(
            state,
            slots,
            customer,
            prompt,
            model,
            body_sha256,
            deadline,
            resume_handle,
            offset,
        )
    services.check_dependencies(state, model_services)
    return completions.Completion(
        state=state,
        slots=slots,
        customer=customer,
        prompt=prompt,
        model=model,
        body_sha256=body_sha256,
        request_id=secrets.token_hex(16),
        weight_version=model.version,
        seed=secrets.randbits(62) if prompt.seed is None else prompt.seed,
        deadline=deadline,
    )


def _create_resumed_completion(
    state: states.GatewayState,
    slots: admission.Admission,
    customer: configuration.Customer,
    prompt: prompts.Prompt,
    model: configuration.Model,
    body_sha256: str,
    deadline: deadlines.Deadline,
    resume_handle: str,
    offset: int,
) -> completions.Completion:
    """Return the completion that continues the request of a handle.

    Raises `exceptions.ResumeMismatch` if the body or offset does not belong
    to that request, and `exceptions.UnknownHandle`.
    """
    handle = handles.open_handle(
        resume_handle, customer.name, state.settings.handle_keys
    )
    if handle.body_sha256 != body_sha256 or handle.model != model.name:
        raise exceptions.ResumeMismatch(
            "the body differs from the original request"
        )
    if not 0 <= offset <= prompt.max_tokens:
        raise exceptions.ResumeMismatch(
            f"offset {offset} is outside the response"
        )
    return completions.Completion(
        state=state,
        slots=slots,
        customer=customer,
        prompt=prompt,
        model=model,
        body_sha256=body_sha256,
        request_id=handle.request_id,
        weight_version=handle.weight_version,
        seed=handle.seed,
        deadline=deadline,
        resume_offset=offset,
        resumed_engine_address=handle.engine_address,
    )
