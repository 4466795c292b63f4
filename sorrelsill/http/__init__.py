"""HTTP/1.1 on trio streams with h11, server and client. Knows nothing of schedulers."""

from sorrelsill.http.client import Client, MaySend, NoAnswerError, NotSentError, always
from sorrelsill.http.server import Handler, Reply, Request, Server

__all__ = ["Client", "Handler", "MaySend", "NoAnswerError", "NotSentError", "Reply", "Request", "Server", "always"]
