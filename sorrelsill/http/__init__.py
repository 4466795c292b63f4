"""HTTP/1.1 on trio streams with h11, server and client. Knows nothing of schedulers."""

from sorrelsill.http.client import Client, MaySend, NoAnswer, NotSent, always
from sorrelsill.http.server import Handler, Reply, Request, Server

__all__ = ["Client", "Handler", "MaySend", "NoAnswer", "NotSent", "Reply", "Request", "Server", "always"]
