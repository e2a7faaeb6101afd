package org.radishpost.events;

/**
 * One named value of an event.
 *
 * @param name the name, lower camel case
 * @param value the value as text; never request data of a route with home regions
 */
public record EventField(String name, String value) {
  /** Returns a field with the value's text. */
  public static EventField of(String name, Object value) {
    return new EventField(name, String.valueOf(value));
  }
}
