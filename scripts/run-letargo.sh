#!/usr/bin/env bash
# Runs every role of Letargo's deployment as a process of its own; see run-deployment.sh.
PORT_BASE=${PORT_BASE:-22000} exec "$(dirname "${BASH_SOURCE[0]}")/run-deployment.sh" letargo "$@"
