package org.radishpost.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.radishpost.errors.PlatformDocumentException;

/** A JSON object from the platform with typed access to its fields; immutable. */
final class Document {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final double NANOS_PER_SECOND = 1e9;

  /** 30 years; times up to here can be added to the clock without an overflow. */
  private static final double MAX_SECONDS = 1e9;

  private final String name;
  private final JsonNode node;

  private Document(String name, JsonNode node) {
    this.name = name;
    this.node = node;
  }

  /**
   * Parses a JSON object.
   *
   * @param name the name of the document in error messages
   * @param bytes the JSON text
   * @throws PlatformDocumentException if the bytes are not a JSON object
   */
  static Document parse(String name, byte[] bytes) throws PlatformDocumentException {
    try {
      JsonNode node = MAPPER.readTree(bytes);
      if (node == null || !node.isObject()) {
        throw new PlatformDocumentException(
            name + " is not a JSON object: check the program that wrote it.");
      }
      return new Document(name, node);
    } catch (JsonProcessingException e) {
      throw new PlatformDocumentException(
          name + " is not valid JSON: check the program that wrote it.", e);
    } catch (IOException e) {
      throw new PlatformDocumentException(
          name + " is not valid JSON: check the program that wrote it.", e);
    }
  }

  String text(String field) throws PlatformDocumentException {
    JsonNode value = node.get(field);
    if (value == null || !value.isTextual()) {
      throw wrongType(field, "a string");
    }
    return value.textValue();
  }

  Optional<String> optionalText(String field) throws PlatformDocumentException {
    return has(field) ? Optional.of(text(field)) : Optional.empty();
  }

  double number(String field) throws PlatformDocumentException {
    JsonNode value = node.get(field);
    if (value == null || !value.isNumber() || !Double.isFinite(value.doubleValue())) {
      throw wrongType(field, "a number of usual size");
    }
    return value.doubleValue();
  }

  double number(String field, double defaultValue) throws PlatformDocumentException {
    return has(field) ? number(field) : defaultValue;
  }

  int integer(String field) throws PlatformDocumentException {
    double value = number(field);
    if (Math.abs(value) > Integer.MAX_VALUE) {
      throw wrongType(field, "a number of usual size");
    }
    return (int) value;
  }

  /** Returns a duration that is given in seconds, possibly with a fraction. */
  Duration seconds(String field) throws PlatformDocumentException {
    double seconds = number(field);
    if (Math.abs(seconds) > MAX_SECONDS) {
      throw wrongType(field, "a time of usual length");
    }
    return Duration.ofNanos((long) (seconds * NANOS_PER_SECOND));
  }

  Optional<Duration> optionalSeconds(String field) throws PlatformDocumentException {
    return has(field) ? Optional.of(seconds(field)) : Optional.empty();
  }

  Document object(String field) throws PlatformDocumentException {
    JsonNode value = node.get(field);
    if (value == null || !value.isObject()) {
      throw wrongType(field, "an object");
    }
    return new Document(name + "." + field, value);
  }

  /** Returns the fields of an object whose values are all objects. */
  Map<String, Document> objectMap(String field) throws PlatformDocumentException {
    JsonNode value = object(field).node;
    Map<String, Document> objects = new LinkedHashMap<>();
    for (Map.Entry<String, JsonNode> entry : value.properties()) {
      if (!entry.getValue().isObject()) {
        throw wrongType(field + "." + entry.getKey(), "an object");
      }
      objects.put(
          entry.getKey(),
          new Document(name + "." + field + "." + entry.getKey(), entry.getValue()));
    }
    return objects;
  }

  /** Returns the fields of an object whose values are all strings. */
  Map<String, String> textMap(String field) throws PlatformDocumentException {
    Document object = object(field);
    Map<String, String> texts = new LinkedHashMap<>();
    for (Iterator<String> keys = object.node.fieldNames(); keys.hasNext(); ) {
      String key = keys.next();
      texts.put(key, object.text(key));
    }
    return texts;
  }

  /** Returns an array of strings; empty if the field is absent. */
  List<String> textList(String field) throws PlatformDocumentException {
    List<String> texts = new ArrayList<>();
    for (JsonNode value : array(field)) {
      if (!value.isTextual()) {
        throw wrongType(field, "an array of strings");
      }
      texts.add(value.textValue());
    }
    return texts;
  }

  /** Returns an array of objects; empty if the field is absent. */
  List<Document> objectList(String field) throws PlatformDocumentException {
    List<Document> objects = new ArrayList<>();
    for (JsonNode value : array(field)) {
      if (!value.isObject()) {
        throw wrongType(field, "an array of objects");
      }
      objects.add(new Document(name + "." + field, value));
    }
    return objects;
  }

  boolean booleanOrFalse(String field) {
    return node.path(field).asBoolean(false);
  }

  boolean has(String field) {
    return node.hasNonNull(field);
  }

  private Iterable<JsonNode> array(String field) throws PlatformDocumentException {
    if (!has(field)) {
      return List.of();
    }
    if (!node.get(field).isArray()) {
      throw wrongType(field, "an array");
    }
    return node.get(field);
  }

  private PlatformDocumentException wrongType(String field, String expected) {
    return new PlatformDocumentException(
        name + "." + field + " is not " + expected + ": check the program that wrote it.");
  }
}
