# README.md explains the targets. BUILD may name another build folder.
BUILD ?= build
export SASSAFRAS_BUILD = $(abspath $(BUILD))
SOURCES = $(shell git ls-files 'libs/*.cc' 'libs/*.h' 'daemons/*.cc' 'daemons/*.h' 'tools/*.cc' 'tools/*.h' 'bench/*.cc' 'tests/*.cc' 'tests/*.h' 'platform/*.cc' 'platform/*.h' | grep -v generated/)
SEED ?= 1
MINUTES ?= 1
SECONDS ?= 60

.PHONY: deps build demo test test-unit test-process lint format bench soak fault-soak fuzz mutants test-asan install clean

deps:
	.ci/install-packages

build: deps
	cmake -S . -B $(BUILD) -G Ninja
	cmake --build $(BUILD)

demo: build
	python3 tools/lab/demo.py

test: build test-unit test-process

test-unit:
	ctest --test-dir $(BUILD) --output-on-failure

test-process:
	python3 tests/process/run.py

lint:
	clang-format-14 --dry-run -Werror $(SOURCES)
	.ci/lint $(BUILD)

format:
	clang-format-14 -i $(SOURCES)

bench:
	$(BUILD)/core_bench

soak: build
	tests/soak.sh $(SEED) $(MINUTES)

fault-soak: build
	tests/fault_soak.sh $(SEED) $(MINUTES)

fuzz:
	cmake -S . -B $(BUILD)-fuzz -G Ninja -DCMAKE_CXX_COMPILER=clang++-14 -DSASSAFRAS_FUZZ=ON
	cmake --build $(BUILD)-fuzz --target answer_fuzz request_fuzz entries_fuzz plans_fuzz
	tests/fuzz.sh $(BUILD)-fuzz $(SECONDS)

mutants:
	python3 tests/mutants.py

test-asan:
	cmake -S . -B $(BUILD)-asan -G Ninja -DSASSAFRAS_SANITIZE=ON
	cmake --build $(BUILD)-asan
	ctest --test-dir $(BUILD)-asan --output-on-failure

install: build
	cmake --install $(BUILD)

clean:
	rm -rf $(BUILD) $(BUILD)-asan $(BUILD)-fuzz
