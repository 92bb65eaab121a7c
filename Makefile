# VENV may name an existing virtual environment to use instead of .venv.
VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
export PYTHONPATH = src:.

SOURCES = src standins tests tools

.PHONY: test check format demo bench wire clean

$(BIN)/.installed: requirements.txt requirements-dev.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements-dev.txt
	touch $@

check: $(BIN)/.installed
	$(BIN)/black --check -q $(SOURCES)
	$(BIN)/flake8 $(SOURCES)

format: $(BIN)/.installed
	$(BIN)/black -q $(SOURCES)

test: $(BIN)/.installed
	$(BIN)/python -m tools.run_tests $(TESTS)

demo: $(BIN)/.installed
	$(BIN)/python -m tools.demo

bench: $(BIN)/.installed
	$(BIN)/python -m tools.bench

# Needs grpcio-tools; the generated code is committed.
wire: $(BIN)/.installed
	$(BIN)/python -m grpc_tools.protoc -Iproto \
		--python_out=src/sesamefold/wire \
		--grpc_python_out=src/sesamefold/wire proto/control.proto
	sed -i 's/^import control_pb2/from sesamefold.wire import control_pb2/' \
		src/sesamefold/wire/control_pb2_grpc.py

clean:
	rm -rf .venv build
