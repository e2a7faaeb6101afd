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

/** A JSON object of the platform whose fields are read with their types; immutable. */
final class Document {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final double NANOS_PER_SECOND = 1e9;

  private final String name;
  private final JsonNode node;

  private Document(String name, JsonNode node) {
    this.name = name;
    this.node = node;
  }

  /**
   * Reads an object.
   *
   * @param name what it is, for messages
   * @throws PlatformDocumentException if the bytes are no JSON object
   */
  static Document parse(String name, byte[] bytes) throws PlatformDocumentException {
    try {
      JsonNode node = MAPPER.readTree(bytes);
      if (node == null || !node.isObject()) {
        throw new PlatformDocumentException(name + " is no JSON object: look at who wrote it.");
      }
      return new Document(name, node);
    } catch (JsonProcessingException e) {
      throw new PlatformDocumentException(name + " can't be read: look at who wrote it.", e);
    } catch (IOException e) {
      throw new PlatformDocumentException(name + " can't be read: look at who wrote it.", e);
    }
  }

  String text(String field) throws PlatformDocumentException {
    JsonNode value = node.get(field);
    if (value == null || !value.isTextual()) {
      throw wrongType(field, "a text");
    }
    return value.textValue();
  }

  Optional<String> optionalText(String field) throws PlatformDocumentException {
    return has(field) ? Optional.of(text(field)) : Optional.empty();
  }

  double number(String field) throws PlatformDocumentException {
    JsonNode value = node.get(field);
    if (value == null || !value.isNumber()) {
      throw wrongType(field, "a number");
    }
    return value.doubleValue();
  }

  double number(String field, double defaultValue) throws PlatformDocumentException {
    return has(field) ? number(field) : defaultValue;
  }

  int integer(String field) throws PlatformDocumentException {
    return (int) number(field);
  }

  /** Reads a time in seconds with fractions. */
  Duration seconds(String field) throws PlatformDocumentException {
    return Duration.ofNanos((long) (number(field) * NANOS_PER_SECOND));
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

  /** Reads a table whose rows are objects, by their names. */
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

  /** Reads a table of texts, by their names. */
  Map<String, String> textMap(String field) throws PlatformDocumentException {
    Document object = object(field);
    Map<String, String> texts = new LinkedHashMap<>();
    for (Iterator<String> keys = object.node.fieldNames(); keys.hasNext(); ) {
      String key = keys.next();
      texts.put(key, object.text(key));
    }
    return texts;
  }

  /** Reads a list of texts; absent is empty. */
  List<String> textList(String field) throws PlatformDocumentException {
    List<String> texts = new ArrayList<>();
    for (JsonNode value : array(field)) {
      if (!value.isTextual()) {
        throw wrongType(field, "a list of texts");
      }
      texts.add(value.textValue());
    }
    return texts;
  }

  /** Reads a list of objects; absent is empty. */
  List<Document> objectList(String field) throws PlatformDocumentException {
    List<Document> objects = new ArrayList<>();
    for (JsonNode value : array(field)) {
      if (!value.isObject()) {
        throw wrongType(field, "a list of objects");
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
      throw wrongType(field, "a list");
    }
    return node.get(field);
  }

  private PlatformDocumentException wrongType(String field, String expected) {
    return new PlatformDocumentException(
        name + "." + field + " is not " + expected + ": look at who wrote it.");
  }
}
