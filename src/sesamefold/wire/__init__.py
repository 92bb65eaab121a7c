"""Generated gRPC code; `make wire` writes it from proto/."""
