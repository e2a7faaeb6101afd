package org.radishpost.pgm;

import java.util.Map;

/** The variables of the process's environment, which tests replace. */
final class Environment {
  private static volatile Map<String, String> variables = System.getenv();

  private Environment() {}

  static Map<String, String> variables() {
    return variables;
  }

  /** Replaces the variables. */
  static void replaceVariables(Map<String, String> replacement) {
    variables = Map.copyOf(replacement);
  }
}
