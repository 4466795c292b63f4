"""Start a controller from a checkout: put the built libraries on the path, then hand over to the CLI."""

import os
import sys

_HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [_HERE, os.path.join(_HERE, "target", "deps")]

if __name__ == "__main__":
    from sorrelsill.serve import main

    sys.exit(main(sys.argv[1:]))
