#!/usr/bin/env bash
# Compiles the stand-ins of the cases review/11 to review/14 from source, without a network, to
# target/review-3. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
source .ci/jdk.sh
rm -rf target/review-3
mkdir -p target/review-3
javac -d target/review-3 review/standin-3/review3/*.java
