# VENV may name an existing virtual environment to use instead of .venv.
VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
export PYTHONPATH = src:.

SOURCES = src standins tests tools deploy

.PHONY: test check format demo bench load soak fuzz wire clean

$(BIN)/.installed: requirements.txt requirements-dev.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements-dev.txt
	$(BIN)/pip install -q --no-deps --no-build-isolation -e .
	touch $@

# Names of the users' platform; only its folder may know them.
WIRE_NAMES = Sesamefold-(Tenant|Kv|Expect|Cache|Weight)|Kv-(Fetch|Save|From|Until|Backup)|Response-Seal|Prompt-Prefix|kv-(txn|watch|range|events|list)|op/config|cold_left_ms|allowed_regions

check: $(BIN)/.installed
	! grep -rnE '$(WIRE_NAMES)' src --include '*.py' \
		--exclude-dir platform
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

load: $(BIN)/.installed
	$(BIN)/python -m tools.load_entry

soak: $(BIN)/.installed
	$(BIN)/python -m tools.soak --seeds $(or $(SEEDS),1 2 3)

# Generated behaviour of faulty servers, with other examples for each seed.
fuzz: $(BIN)/.installed
	FUZZ_SEED=$(or $(SEED),1) FUZZ_EXAMPLES=$(or $(EXAMPLES),5000) \
		$(BIN)/python -m unittest -v tests.test_exchange_fuzz

# Needs grpcio-tools; the generated code is committed.
wire: $(BIN)/.installed
	$(BIN)/python -m grpc_tools.protoc -Iproto \
		--python_out=src/sesamefold/wire \
		--grpc_python_out=src/sesamefold/wire proto/control.proto
	sed -i 's/^import control_pb2/from sesamefold.wire import control_pb2/' \
		src/sesamefold/wire/control_pb2_grpc.py

clean:
	rm -rf .venv build
