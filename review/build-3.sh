#!/bin/sh
# Builds the stand-ins of the cases of the third review, in the repository's root. They use the standard library
# only, and every address in them is a loopback address.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -o target/review-3/cases review/standins-3/main.rs
