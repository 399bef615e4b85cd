"""The list service: which hosts there are, in versions, and those who read and write it."""
