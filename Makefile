# Friendly targets over CMake. `make help` lists them.
BUILD ?= build
JOBS ?= $(shell nproc)
SECONDS ?= 60
SEED ?= 1
PACKAGES = cmake gcc g++ make pkg-config clang clang-format clang-tidy cppcheck \
	libclang-rt-14-dev liburcu-dev libprotobuf-c-dev protobuf-c-compiler \
	libmicrohttpd-dev libneon27-dev libjson-c-dev libcunit1-dev \
	librapidcheck-dev libxxhash-dev libcurl4-gnutls-dev

.PHONY: help deps build format format-check lint proto check prove soak bench fuzz \
	demo up clean install

help:
	@echo "demo   install packages, build, run the main job on both example sites"
	@echo "check  install packages, build, format, lint and run every test"
	@echo "up     start a small site and leave it running until interrupted"
	@echo "prove  run the tests of each promise and print a verdict for each"
	@echo "soak   change the configuration under faults, SEED=n, SECONDS=n"
	@echo "bench  print measurements beside the baseline"
	@echo "fuzz   run the fuzz targets for SECONDS=n each"
	@echo "build format format-check lint proto install clean"

deps:
	@PACKAGES="$(PACKAGES)" tools/install_packages.sh

build:
	@cmake -S . -B $(BUILD) >$(BUILD).log 2>&1 || { cat $(BUILD).log; exit 1; }
	@cmake --build $(BUILD) -j $(JOBS) >>$(BUILD).log 2>&1 || \
		{ tail -60 $(BUILD).log; exit 1; }

format:
	@tools/sources.sh | xargs clang-format -i

format-check:
	@tools/sources.sh | xargs clang-format --dry-run -Werror

lint: build
	@BUILD=$(BUILD) JOBS=$(JOBS) tools/lint.sh

proto:
	cd proto && protoc-c --c_out=. ibistrestle.proto

check: deps
	@JOBS=$(JOBS) tools/check.sh

prove: deps build
	@BUILD=$(BUILD) tools/prove.sh

soak: deps build
	@IBIS_BIN=$(BUILD) IBIS_SOURCE=. $(BUILD)/soak_config --seed $(SEED) \
		--seconds $(SECONDS)

bench: deps build
	@BUILD=$(BUILD) tools/bench.sh

fuzz: deps
	@SECONDS=$(SECONDS) tools/fuzz.sh

demo: deps build
	@BUILD=$(BUILD) tools/demo.sh

up: deps build
	@BUILD=$(BUILD) tools/up.sh

install: build
	@cmake --install $(BUILD)

clean:
	rm -rf build build-* *.log
