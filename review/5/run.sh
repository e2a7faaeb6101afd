#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: calm.
set -u
cd "$(dirname "$0")/../.."
if [ ! -e target/review/Cases.class ] || [ ! -x target/java/bin/java ]; then
  echo "run deploy/build and review/build.sh first"
  exit 2
fi
timeout -k 1 118 target/java/bin/java --enable-native-access=ALL-UNNAMED \
  --sun-misc-unsafe-memory-access=allow -Dreactor.netty.native=false \
  -cp target/review:target/radishpost-0.1.0-all.jar Cases review/5 crashes
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
