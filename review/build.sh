#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review; the build of the deploy file goes first.
set -euo pipefail
cd "$(dirname "$0")/.."
source .ci/jdk.sh
rm -rf target/review
"$JAVA_HOME/bin/javac" -d target/review -cp target/radishpost-0.1.0-all.jar review/standin/*.java
