"""Starts a controller from a checkout, with the built dependencies in target/deps on the import path."""

import os
import sys

_HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [_HERE, os.path.join(_HERE, "target", "deps")]

if __name__ == "__main__":
    from sorrelsill.serve import main

    sys.exit(main(sys.argv[1:]))
