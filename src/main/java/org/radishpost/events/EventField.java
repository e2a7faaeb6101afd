package org.radishpost.events;

/**
 * A named value of an event.
 *
 * @param name the name in lower camel case
 * @param value the value as text; must not contain request data of a route with home regions
 */
public record EventField(String name, String value) {
  /** Returns a field with the string form of the value. */
  public static EventField of(String name, Object value) {
    return new EventField(name, String.valueOf(value));
  }
}
