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
 * Reads the members of one JSON object of a manifest.
 *
 * <p>A missing member or a member of the wrong type is recorded as a fault and replaced by a
 * placeholder, and reading continues. {@link #addUnknownMemberFaults} records a fault for each
 * member that was not read.
 */
final class ManifestNode {
  private static final String OBJECT_REMEDY = "specify an object in braces";

  private final JsonNode node;
  private final String path;
  private final FaultCollector faults;
  private final Set<String> readMembers = new HashSet<>();

  ManifestNode(JsonNode node, String path, FaultCollector faults) {
    this.node = node.isObject() ? node : JsonNodeFactory.instance.objectNode();
    this.path = path;
    this.faults = faults;
    faults.addIf(!node.isObject(), path, OBJECT_REMEDY);
  }

  /** Parses a string member, or records a fault and returns the placeholder. */
  <T> T parse(String name, Function<String, T> parser, T placeholder, String remedy) {
    JsonNode member = member(name);
    if (member.isTextual()) {
      try {
        return parser.apply(member.textValue());
      } catch (IllegalArgumentException e) {
        faults.add(pathOf(name), e.getMessage() + ": " + remedy);
        return placeholder;
      }
    }
    faults.add(pathOf(name), remedy);
    return placeholder;
  }

  String stringValue(String name) {
    return parse(name, Function.identity(), "", "specify a string");
  }

  String stringValue(String name, String defaultValue) {
    return member(name).isMissingNode() ? defaultValue : stringValue(name);
  }

  <E extends Enum<E>> E enumConstant(String name, Class<E> type) {
    E[] constants = type.getEnumConstants();
    String remedy = "specify one of " + Arrays.toString(constants);
    return parse(name, text -> Enum.valueOf(type, text), constants[0], remedy);
  }

  <E extends Enum<E>> E enumConstant(String name, Class<E> type, E defaultValue) {
    return member(name).isMissingNode() ? defaultValue : enumConstant(name, type);
  }

  boolean booleanValue(String name) {
    JsonNode member = member(name);
    faults.addIf(!member.isBoolean(), pathOf(name), "specify true or false");
    return member.booleanValue();
  }

  long longValue(String name) {
    JsonNode member = member(name);
    boolean isLong = member.isIntegralNumber() && member.canConvertToLong();
    faults.addIf(!isLong, pathOf(name), "specify an integer without quotes, fraction or exponent");
    return member.longValue();
  }

  int intValue(String name) {
    long number = longValue(name);
    boolean fitsInt = number >= Integer.MIN_VALUE && number <= Integer.MAX_VALUE;
    faults.addIf(!fitsInt, pathOf(name), "is " + number + ": specify a smaller number");
    return fitsInt ? (int) number : 0;
  }

  Duration millis(String name) {
    return Duration.ofMillis(longValue(name));
  }

  ManifestNode object(String name) {
    return new ManifestNode(member(name), pathOf(name), faults);
  }

  <T> List<T> objectList(String name, ManifestBounds.Range size, Function<ManifestNode, T> reader) {
    JsonNode list = list(name, size);
    List<T> values = new ArrayList<>(list.size());
    for (int i = 0; i < list.size(); i++) {
      ManifestNode object = new ManifestNode(list.get(i), pathOf(name) + "[" + i + "]", faults);
      values.add(reader.apply(object));
      object.addUnknownMemberFaults();
    }
    return values;
  }

  <T> Set<T> stringSet(
      String name, ManifestBounds.Range size, Function<String, T> parser, String remedy) {
    JsonNode list = list(name, size);
    Set<T> values = new HashSet<>();
    for (int i = 0; i < list.size(); i++) {
      parseInto(values, list.get(i), pathOf(name) + "[" + i + "]", parser, remedy);
    }
    return values;
  }

  /** Records a fault for each member that was not read. */
  void addUnknownMemberFaults() {
    node.fieldNames()
        .forEachRemaining(
            name -> {
              if (!readMembers.contains(name)) {
                faults.add(pathOf(name), "is unknown: remove it or correct its spelling");
              }
            });
  }

  private <T> void parseInto(
      Set<T> values,
      JsonNode element,
      String elementPath,
      Function<String, T> parser,
      String remedy) {
    if (!element.isTextual()) {
      faults.add(elementPath, remedy);
      return;
    }
    try {
      boolean added = values.add(parser.apply(element.textValue()));
      faults.addIf(!added, elementPath, "is a duplicate: remove it");
    } catch (IllegalArgumentException e) {
      faults.add(elementPath, e.getMessage() + ": " + remedy);
    }
  }

  private JsonNode list(String name, ManifestBounds.Range size) {
    JsonNode member = member(name);
    if (member.isMissingNode() && size.min() == 0) {
      return JsonNodeFactory.instance.arrayNode();
    }
    if (!member.isArray() || !size.contains(member.size())) {
      faults.add(pathOf(name), "specify a list of " + size);
      return JsonNodeFactory.instance.arrayNode();
    }
    return member;
  }

  private JsonNode member(String name) {
    readMembers.add(name);
    return node.path(name);
  }

  private String pathOf(String name) {
    return path.isEmpty() ? name : path + "." + name;
  }
}
