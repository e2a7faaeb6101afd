#!/usr/bin/env bash
# Compiles the stand-ins of the second review into target/review-2; needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
source .ci/jdk.sh
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -Xlint:all -d target/review-2 review/standin-2/*.java
