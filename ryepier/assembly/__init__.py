"""Creates sidecars and planners from the operators' settings; commands and simulations start them."""
