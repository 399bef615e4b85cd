"""`python -m moleworks`: the command line."""

from moleworks.cli import main

main()
