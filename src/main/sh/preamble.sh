#!/bin/sh
# Runs the jar that is appended to this script, with the first Java 25 or newer that is found.
# RADISHPOST_JAVA_OPTIONS contains additional JVM options, which override the options below.
for home in "${JAVA_HOME:-}" "" /usr/lib/jvm/*; do
  if [ -z "$home" ]; then
    java=$(command -v java) || continue
  else
    java="$home/bin/java"
  fi
  [ -x "$java" ] || continue
  version=$("$java" -XX:-UsePerfData -version 2>&1 | sed -n '1s/.*version "\([0-9]*\).*/\1/p')
  [ "${version:-0}" -ge 25 ] || continue
  exec "$java" -Xmx256m -XX:MaxDirectMemorySize=128m -XX:+ExitOnOutOfMemoryError -XX:-UsePerfData --sun-misc-unsafe-memory-access=allow --enable-native-access=ALL-UNNAMED -Dreactor.netty.native=false -Dlog4j2.disable.jmx=true $RADISHPOST_JAVA_OPTIONS -jar "$0" "$@"
done
echo "radishpost needs Java 25 or newer: install Temurin 25, or set JAVA_HOME to a Java 25 runtime." >&2
exit 3
