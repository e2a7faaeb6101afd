package org.radishpost.placement;

import java.util.Objects;

/**
 * The identity of a target; a target that starts anew mostly has a new one.
 *
 * @param value the text, not blank
 */
public record TargetId(String value) implements Comparable<TargetId> {
  /** Checks the text. */
  public TargetId {
    Objects.requireNonNull(value, "value");
    if (value.isBlank()) {
      throw new IllegalArgumentException("a target's id must not be blank");
    }
  }

  @Override
  public int compareTo(TargetId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
