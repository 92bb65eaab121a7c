"""Completions from the requests of callers, fresh or resumed."""

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


def open_completion(
    state: states.GatewayState,
    slots: admission.Admission,
    customer: configuration.Customer,
    prompt: prompts.Prompt,
    body: bytes,
    deadline: deadlines.Deadline,
    resume: str = "",
    offset: int = 0,
) -> completions.Completion:
    """Return the completion of a request, fresh or resumed by a handle.

    Raises `exceptions.RequestError` and `exceptions.DependencyDown`.
    """
    model, addressed = services.find_model(state, prompt.model_or_service)
    digest = hashlib.sha256(body).hexdigest()
    if resume:
        return _open_resumed(
            state,
            slots,
            customer,
            prompt,
            model,
            digest,
            deadline,
            resume,
            offset,
        )
    services.check_dependencies(state, addressed)
    return completions.Completion(
        state=state,
        slots=slots,
        customer=customer,
        prompt=prompt,
        model=model,
        body_sha256=digest,
        request_id=secrets.token_hex(16),
        weight_version=model.version,
        seed=secrets.randbits(62) if prompt.seed is None else prompt.seed,
        deadline=deadline,
    )


def _open_resumed(
    state: states.GatewayState,
    slots: admission.Admission,
    customer: configuration.Customer,
    prompt: prompts.Prompt,
    model: configuration.Model,
    digest: str,
    deadline: deadlines.Deadline,
    resume: str,
    offset: int,
) -> completions.Completion:
    handle = handles.open_handle(
        resume, customer.name, state.settings.handle_keys
    )
    if handle.body_sha256 != digest or handle.model != model.name:
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
        body_sha256=digest,
        request_id=handle.request_id,
        weight_version=handle.weight_version,
        seed=handle.seed,
        deadline=deadline,
        resume_offset=offset,
        resumed_engine_address=handle.engine_address,
    )
