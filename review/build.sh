#!/usr/bin/env bash
# The stand-ins are plain JavaScript: this checks that they and the cases can be read, and that the program was built.
cd "$(dirname "$0")" || exit 1
for file in standin/*.mjs [0-9]/case.mjs; do node --check "$file" || exit 1; done
[ -f ../target/boot.js ] && [ -f ../target/bundle.js ] || { echo "run the build of deploy/service.toml first"; exit 1; }
