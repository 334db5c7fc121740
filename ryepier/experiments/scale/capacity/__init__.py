"""The capacity page's tables, computed from kept results and the size to design for."""
