package org.radishpost.events;

/**
 * A point on a hybrid logical clock: later than every point that its VM had heard of.
 *
 * @param millis the wall clock's time, or a later one that was heard of, in milliseconds since 1970
 * @param count tells points of one millisecond apart
 */
public record EventStamp(long millis, long count) implements Comparable<EventStamp> {
  @Override
  public int compareTo(EventStamp other) {
    int byMillis = Long.compare(millis, other.millis);
    return byMillis != 0 ? byMillis : Long.compare(count, other.count);
  }

  /** Returns the form {@code millis.count}, used in header fields and frames. */
  public String text() {
    return millis + "." + count;
  }

  /**
   * Reads the form {@code millis.count}.
   *
   * @throws IllegalArgumentException if the text has another form
   */
  public static EventStamp parse(String text) {
    int dot = text.indexOf('.');
    if (dot < 1) {
      throw new IllegalArgumentException("'" + text + "' is not of the form millis.count");
    }
    return new EventStamp(
        Long.parseLong(text.substring(0, dot)), Long.parseLong(text.substring(dot + 1)));
  }
}
