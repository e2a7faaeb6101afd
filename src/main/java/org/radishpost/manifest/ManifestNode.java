package org.radishpost.manifest;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

/**
 * One JSON object of a manifest with its path.
 *
 * <p>A member that is missing or has the wrong type becomes a fault and a stand-in value, so that
 * reading goes on. {@link #close} makes a fault of each member that was not asked for.
 */
final class ManifestNode {
  private static final String EMPTY_OBJECT = "give an object in braces";

  private final JsonNode node;
  private final String path;
  private final FaultCollector faults;
  private final Set<String> asked = new HashSet<>();

  ManifestNode(JsonNode node, String path, FaultCollector faults) {
    this.node = node.isObject() ? node : JsonNodeFactory.instance.objectNode();
    this.path = path;
    this.faults = faults;
    faults.addIf(!node.isObject(), path, EMPTY_OBJECT);
  }

  /** Reads a text and makes a value of it. */
  <T> T value(String name, Function<String, T> maker, T standIn, String remedy) {
    JsonNode member = member(name);
    if (member.isTextual()) {
      try {
        return maker.apply(member.textValue());
      } catch (IllegalArgumentException e) {
        faults.add(at(name), e.getMessage() + ": " + remedy);
        return standIn;
      }
    }
    faults.add(at(name), remedy);
    return standIn;
  }

  String text(String name) {
    return value(name, Function.identity(), "", "give a text");
  }

  String text(String name, String absent) {
    return member(name).isMissingNode() ? absent : text(name);
  }

  <E extends Enum<E>> E choice(String name, Class<E> type) {
    E[] all = type.getEnumConstants();
    String remedy = "give one of " + Arrays.toString(all);
    return value(name, text -> Enum.valueOf(type, text), all[0], remedy);
  }

  <E extends Enum<E>> E choice(String name, Class<E> type, E absent) {
    return member(name).isMissingNode() ? absent : choice(name, type);
  }

  boolean flag(String name) {
    JsonNode member = member(name);
    faults.addIf(!member.isBoolean(), at(name), "give true or false");
    return member.booleanValue();
  }

  long number(String name) {
    JsonNode member = member(name);
    boolean whole = member.isIntegralNumber() && member.canConvertToLong();
    faults.addIf(!whole, at(name), "give a whole number without quotes, fraction or exponent");
    return member.longValue();
  }

  int smallNumber(String name) {
    long number = number(name);
    boolean small = number >= Integer.MIN_VALUE && number <= Integer.MAX_VALUE;
    faults.addIf(!small, at(name), "is " + number + ": give a smaller number");
    return small ? (int) number : 0;
  }

  Duration millis(String name) {
    return Duration.ofMillis(number(name));
  }

  ManifestNode object(String name) {
    return new ManifestNode(member(name), at(name), faults);
  }

  <T> List<T> objects(String name, ManifestBounds.Range size, Function<ManifestNode, T> reader) {
    JsonNode list = list(name, size);
    List<T> values = new ArrayList<>(list.size());
    for (int i = 0; i < list.size(); i++) {
      ManifestNode each = new ManifestNode(list.get(i), at(name) + "[" + i + "]", faults);
      values.add(reader.apply(each));
      each.close();
    }
    return values;
  }

  <T> Set<T> set(String name, ManifestBounds.Range size, Function<String, T> maker, String remedy) {
    JsonNode list = list(name, size);
    Set<T> values = new HashSet<>();
    for (int i = 0; i < list.size(); i++) {
      addTo(values, list.get(i), at(name) + "[" + i + "]", maker, remedy);
    }
    return values;
  }

  /** Makes a fault of each member that was not asked for. */
  void close() {
    node.fieldNames()
        .forEachRemaining(
            name -> {
              if (!asked.contains(name)) {
                faults.add(at(name), "is not known: remove it, or mend its spelling");
              }
            });
  }

  private <T> void addTo(
      Set<T> values, JsonNode each, String where, Function<String, T> maker, String remedy) {
    if (!each.isTextual()) {
      faults.add(where, remedy);
      return;
    }
    try {
      boolean added = values.add(maker.apply(each.textValue()));
      faults.addIf(!added, where, "stands twice: remove one");
    } catch (IllegalArgumentException e) {
      faults.add(where, e.getMessage() + ": " + remedy);
    }
  }

  private JsonNode list(String name, ManifestBounds.Range size) {
    JsonNode member = member(name);
    if (member.isMissingNode() && size.min() == 0) {
      return JsonNodeFactory.instance.arrayNode();
    }
    if (!member.isArray() || !size.holds(member.size())) {
      faults.add(at(name), "give a list of " + size);
      return JsonNodeFactory.instance.arrayNode();
    }
    return member;
  }

  private JsonNode member(String name) {
    asked.add(name);
    return node.path(name);
  }

  private String at(String name) {
    return path.isEmpty() ? name : path + "." + name;
  }
}
