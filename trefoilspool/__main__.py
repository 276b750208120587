"""Entry point of ``python -m trefoilspool``."""

from trefoilspool.cmdline import main

main()
