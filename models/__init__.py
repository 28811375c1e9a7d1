"""Models of the core protocols that minicheck explores exhaustively."""
