#!/bin/bash
# Builds the stand-ins of the cases, after the build of the deploy file. It needs nothing but this module.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/standin ./review/testdata/standin
