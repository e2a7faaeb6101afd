package org.radishpost.events;

/**
 * A timestamp of a hybrid logical clock. It is later than every timestamp that its VM created or
 * received before.
 *
 * @param millis the time of the wall clock, or a later time received from another VM, in
 *     milliseconds since 1970
 * @param counter orders timestamps within the same millisecond
 */
public record EventTimestamp(long millis, long counter) implements Comparable<EventTimestamp> {
  @Override
  public int compareTo(EventTimestamp other) {
    int byMillis = Long.compare(millis, other.millis);
    return byMillis != 0 ? byMillis : Long.compare(counter, other.counter);
  }

  /** Returns the form {@code millis.count}, which is used in header fields and frames. */
  public String format() {
    return millis + "." + counter;
  }

  /**
   * Parses the form {@code millis.count}.
   *
   * @throws IllegalArgumentException if the text has another form
   */
  public static EventTimestamp parse(String text) {
    int dot = text.indexOf('.');
    if (dot < 1) {
      throw new IllegalArgumentException("'" + text + "' is not of the form millis.count");
    }
    return new EventTimestamp(
        Long.parseLong(text.substring(0, dot)), Long.parseLong(text.substring(dot + 1)));
  }
}
