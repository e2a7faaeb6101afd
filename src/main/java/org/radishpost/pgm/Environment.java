package org.radishpost.pgm;

import java.util.Map;

/** The environment variables of the process. */
final class Environment {
  private static volatile Map<String, String> variables = System.getenv();

  private Environment() {}

  static Map<String, String> variables() {
    return variables;
  }

  /** Replaces the variables that {@link #variables()} returns; for tests. */
  static void replaceVariables(Map<String, String> replacement) {
    variables = Map.copyOf(replacement);
  }
}
