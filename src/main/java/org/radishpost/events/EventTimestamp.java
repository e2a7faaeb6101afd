package org.radishpost.events;

/**
 * A point on a hybrid logical clock: later than every point that its VM had heard of.
 *
 * @param millis the wall clock's time, or a later one that was heard of, in milliseconds since 1970
 * @param counter tells points of one millisecond apart
 */
public record EventTimestamp(long millis, long counter) implements Comparable<EventTimestamp> {
  @Override
  public int compareTo(EventTimestamp other) {
    int byMillis = Long.compare(millis, other.millis);
    return byMillis != 0 ? byMillis : Long.compare(counter, other.counter);
  }

  /** Returns the form {@code millis.count}, used in header fields and frames. */
  public String format() {
    return millis + "." + counter;
  }

  /**
   * Reads the form {@code millis.count}.
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
