package org.radishpost.lib;

import java.util.Objects;

/**
 * Identifies one VM process; the replacement of a VM gets a new ID.
 *
 * @param value the ID, not blank, at most {@value #MAX_CHARS} characters
 */
public record VmId(String value) implements Comparable<VmId> {
  /** Maximum length, in characters. */
  public static final int MAX_CHARS = 100;

  /** Checks that the ID is not blank or too long. */
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
