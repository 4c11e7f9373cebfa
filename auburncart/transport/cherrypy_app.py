"""CherryPy applications that do not use CherryPy's global engine, log and configuration."""

import cherrypy

__all__ = ["make_application"]

cherrypy.config.update({"log.screen": False})


def make_application(root: object, config: dict[str, object]) -> cherrypy.Application:
    """Return a WSGI application that leaves request bodies unparsed.

    :param root: object with the exposed handlers, mounted at ``/v1``.
    :param config: additional CherryPy settings.
    """
    common = {
        "request.process_request_body": False,
        "request.show_tracebacks": False,
        "request.methods_with_bodies": ("POST", "PUT"),
    }
    application = cherrypy.Application(root, "/v1", {"/": {**common, **config}})
    application.log.access = _no_access_log
    return application


def _no_access_log() -> None:
    """Log nothing: requests are logged through eliot."""
