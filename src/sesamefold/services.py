"""Look-up of services, and checks of their dependencies."""

import itertools
import typing as t

from sesamefold import configuration
from sesamefold import exceptions
from sesamefold import routing
from sesamefold import state as states


def find_model(
    state: states.GatewayState, name: str
) -> t.Tuple[configuration.Model, t.List[configuration.Service]]:
    """Return the model for the name of a model or service, and its services.

    The services are the named one or, for the name of a model, all that use
    the model. Raises `exceptions.UnknownService`.
    """
    config = state.configuration
    service = config.services.get(name)
    model = config.models.get(service.model if service else name)
    if model is None or (service and service.kind != "model"):
        raise exceptions.UnknownService(f"model {name!r} does not exist")
    if service:
        return model, [service]
    return model, [
        candidate
        for candidate in config.services.values()
        if candidate.kind == "model" and candidate.model == name
    ]


def find_plain_service(
    state: states.GatewayState, name: str
) -> configuration.Service:
    """Return the plain service `name`.

    Raises `exceptions.UnknownService`.
    """
    service = state.configuration.services.get(name)
    if service is None or service.kind != "plain":
        raise exceptions.UnknownService(f"service {name!r} does not exist")
    return service


def check_dependencies(
    state: states.GatewayState, services: t.Sequence[configuration.Service]
) -> None:
    """Raise `DependencyDown` if each of `services` lacks a dependency.

    A request that names a model is therefore refused only if every service
    with this model has a dependency without a usable server.
    """
    missing = [
        _find_missing_dependency(state, service) for service in services
    ]
    if missing and all(missing):
        raise exceptions.DependencyDown(
            f"dependency {missing[0]!r} has no usable server"
        )


def _find_missing_dependency(
    state: states.GatewayState, service: configuration.Service
) -> t.Optional[str]:
    """Return a dependency without a usable server, None if there is none.

    The dependencies include the indirect ones.
    """
    config = state.configuration
    seen: t.Set[str] = {service.name}
    pending = list(service.depends_on)
    while pending:
        name = pending.pop(0)
        if name in seen:
            continue
        seen.add(name)
        dependency = config.services.get(name)
        if dependency is None or not _has_usable_server(state, dependency):
            return name
        pending.extend(dependency.depends_on)
    return None


def _has_usable_server(
    state: states.GatewayState, service: configuration.Service
) -> bool:
    """Return whether a service has a usable server in any data centre.

    Data centres that are out of service do not count. Servers of other data
    centres are known from the status that the control daemon collects; until
    it first arrives, they are assumed to be usable.
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
    remote_groups = {
        name for name, group in groups.items() if group.data_centre != local
    }
    if state.remote_status is None:
        return bool(remote_groups)
    remote_backends = itertools.chain.from_iterable(
        status.backends
        for status in state.remote_status.data_centres
        if status.name != local and status.reachable
    )
    return any(
        backend.group in remote_groups
        and backend.state in routing.USABLE_STATES
        for backend in remote_backends
    )
