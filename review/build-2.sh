#!/bin/sh
# Prepares the stand-ins of the cases 4 to 8. They are plain JavaScript for Node.js without dependencies, so this only checks that each
# file can be parsed; a script of a case needs nothing else but the build of deploy/service.toml.
set -e
cd "$(dirname "$0")"
for file in standin-2/*.mjs [4-8]/*.mjs; do node --check "$file"; done
