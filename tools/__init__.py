"""Programs of the development environment."""
