# Short names for what README.md describes.
CONFIG ?= examples/config.json
TYPE ?= Release

KIT ?= ../given/kit

.PHONY: build test lint run regression clean

build:
	cmake -B build -DCMAKE_BUILD_TYPE=$(TYPE)
	cmake --build build -j4

test:
	bash .ci/test

lint:
	bash .ci/lint

run: build
	EDGE_CONFIG=$(CONFIG) build/woadridge

# The bench is the operators' own and not part of this repository.
regression:
	KIT=$(KIT) bash .ci/regression

clean:
	rm -rf build
