"""Files that people write: read, checked as a whole, and complained about by key and line."""
