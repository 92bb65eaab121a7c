"""Services that callers address, and whether they can be served."""

import itertools
import typing as t

from sesamefold import configuration
from sesamefold import exceptions
from sesamefold import routing
from sesamefold import state as states


def find_model(
    state: states.GatewayState, name: str
) -> t.Tuple[configuration.Model, t.List[configuration.Service]]:
    """Return the model behind a service or model name, with its services.

    Raises `exceptions.UnknownService`.
    """
    config = state.configuration
    service = config.services.get(name)
    model = config.models.get(service.model if service else name)
    if model is None or (service and service.kind != "model"):
        raise exceptions.UnknownService(f"model {name!r} does not exist")
    if service:
        return model, [service]
    return model, [
        other
        for other in config.services.values()
        if other.kind == "model" and other.model == name
    ]


def find_plain_service(
    state: states.GatewayState, name: str
) -> configuration.Service:
    """Return a plain service; raises `exceptions.UnknownService`."""
    service = state.configuration.services.get(name)
    if service is None or service.kind != "plain":
        raise exceptions.UnknownService(f"service {name!r} does not exist")
    return service


def check_dependencies(
    state: states.GatewayState, services: t.Sequence[configuration.Service]
) -> None:
    """Raise `exceptions.DependencyDown` when no service can be served.

    A model that is addressed by its own name is refused when each service
    with this model has a dependency that is out or down.
    """
    missing = [_find_missing(state, service) for service in services]
    if missing and all(missing):
        raise exceptions.DependencyDown(
            f"dependency {missing[0]!r} is out or down"
        )


def _find_missing(
    state: states.GatewayState, service: configuration.Service
) -> t.Optional[str]:
    """Return a dependency, direct or not, that has no usable server."""
    config = state.configuration
    seen: t.Set[str] = {service.name}
    pending = list(service.depends_on)
    while pending:
        name = pending.pop(0)
        if name in seen:
            continue
        seen.add(name)
        found = config.services.get(name)
        if found is None or not _has_server(state, found):
            return name
        pending.extend(found.depends_on)
    return None


def _has_server(
    state: states.GatewayState, service: configuration.Service
) -> bool:
    """Tell whether a service has a usable server in a data centre in use.

    Servers of other data centres are known from the status that the control
    collects; until its first answer they are assumed to be up.
    """
    config = state.configuration
    groups = {
        group.name: group
        for group in config.groups.values()
        if config.is_in_service(group.data_centre)
        and (
            group.model == service.model
            if service.kind == "model"
            else group.service == service.name
        )
    }
    local = state.settings.data_centre
    if any(
        backend.state in routing.USABLE_STATES
        for backend in state.list_backends(groups)
    ):
        return True
    others = {
        name for name, group in groups.items() if group.data_centre != local
    }
    if state.remote_status is None:
        return bool(others)
    remote = itertools.chain.from_iterable(
        status.backends
        for status in state.remote_status.data_centres
        if status.name != local and status.reachable
    )
    return any(
        backend.group in others and backend.state in routing.USABLE_STATES
        for backend in remote
    )
