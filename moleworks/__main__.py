"""Entry point of `python -m moleworks`."""

from moleworks.cli import main

main()
