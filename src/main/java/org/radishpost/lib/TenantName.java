package org.radishpost.lib;

import java.util.Objects;

/**
 * The name of a tenant, who owns gateways and whose callers are served.
 *
 * @param value the text, not blank, at most {@value #MAX_CHARS} characters
 */
public record TenantName(String value) implements Comparable<TenantName> {
  /** Longest name, in characters. */
  public static final int MAX_CHARS = 100;

  /** Checks the text. */
  public TenantName {
    Objects.requireNonNull(value, "value");
    if (value.isBlank() || value.length() > MAX_CHARS) {
      throw new IllegalArgumentException("name must have 1 to " + MAX_CHARS + " characters");
    }
  }

  @Override
  public int compareTo(TenantName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
