"""Who is there and what they share, without a majority, every value with its greatest age."""
