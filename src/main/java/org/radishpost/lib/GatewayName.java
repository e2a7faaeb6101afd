package org.radishpost.lib;

import java.util.Objects;

/**
 * The name of a gateway.
 *
 * @param value the name, not blank, at most {@value #MAX_CHARS} characters
 */
public record GatewayName(String value) implements Comparable<GatewayName> {
  /** Maximum length of a name, in characters. */
  public static final int MAX_CHARS = 100;

  /** Checks that the name is not blank or too long. */
  public GatewayName {
    Objects.requireNonNull(value, "value");
    if (value.isBlank() || value.length() > MAX_CHARS) {
      throw new IllegalArgumentException("name must have 1 to " + MAX_CHARS + " characters");
    }
  }

  @Override
  public int compareTo(GatewayName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
