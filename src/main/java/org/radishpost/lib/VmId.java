package org.radishpost.lib;

import java.util.Objects;

/**
 * The identity of one VM process; a replaced VM has a new one.
 *
 * @param value the text, not blank, at most {@value #MAX_CHARS} characters
 */
public record VmId(String value) implements Comparable<VmId> {
  /** Longest name, in characters. */
  public static final int MAX_CHARS = 100;

  /** Checks the text. */
  public VmId {
    Objects.requireNonNull(value, "value");
    if (value.isBlank() || value.length() > MAX_CHARS) {
      throw new IllegalArgumentException("name must have 1 to " + MAX_CHARS + " characters");
    }
  }

  @Override
  public int compareTo(VmId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
