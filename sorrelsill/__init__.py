"""sorrelsill: a cluster scheduler whose controllers share one leased leadership."""

__version__ = "0.1.0"
