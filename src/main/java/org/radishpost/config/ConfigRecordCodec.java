package org.radishpost.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.radishpost.errors.ManifestException;
import org.radishpost.manifest.Manifest;
import org.radishpost.manifest.ManifestCodec;

/** The JSON form of {@link ConfigRecord}; thread-safe. */
public final class ConfigRecordCodec {
  /** The largest record, in bytes; it fits into one frame of a link. */
  public static final int MAX_BYTES = 900 * 1024;

  private static final int FORM = 1;

  private final ManifestCodec manifests;
  private final ObjectMapper mapper = JsonMapper.builder().build();

  /**
   * Creates a codec.
   *
   * @param manifests the form of the manifests within
   */
  public ConfigRecordCodec(ManifestCodec manifests) {
    this.manifests = manifests;
  }

  /**
   * Returns the JSON form of a record.
   *
   * @throws ManifestException if the record is too large or has a bad operation id
   */
  public byte[] encode(ConfigRecord record) throws ManifestException {
    checkOperation(record.operationId());
    ObjectNode node = mapper.createObjectNode();
    node.put("form", FORM);
    node.put("operation", record.operationId());
    node.put("author", record.author());
    switch (record.change()) {
      case ConfigChange.Publish(Manifest manifest) -> node.set("publish", manifestNode(manifest));
      case ConfigChange.SetService set -> node.set("setService", setServiceNode(set));
    }
    byte[] json = bytes(node);
    checkSize(json);
    return json;
  }

  /**
   * Reads a record.
   *
   * @throws ManifestException if the bytes have another form
   */
  public ConfigRecord decode(byte[] json) throws ManifestException {
    checkSize(json);
    JsonNode node = tree(json);
    if (node.path("form").asInt() != FORM) {
      throw new ManifestException("form: this version reads form " + FORM + " only");
    }
    String operation = node.path("operation").asText();
    checkOperation(operation);
    return new ConfigRecord(operation, node.path("author").asText(), change(node));
  }

  private ConfigChange change(JsonNode node) throws ManifestException {
    if (node.has("publish")) {
      return new ConfigChange.Publish(manifests.decode(bytes(node.get("publish"))));
    }
    JsonNode set = node.path("setService");
    JsonNode out = set.path("out");
    JsonNode base = set.path("baseVersion");
    if (!out.isBoolean() || !base.isIntegralNumber() || !base.canConvertToLong()) {
      throw new ManifestException("setService: 'out' and 'baseVersion' are missing or malformed");
    }
    Scope scope = new Scope(kind(set.path("kind").asText()), set.path("name").asText());
    return new ConfigChange.SetService(scope, out.booleanValue(), base.longValue());
  }

  private static Scope.Kind kind(String name) throws ManifestException {
    for (Scope.Kind kind : Scope.Kind.values()) {
      if (kind.name().equals(name)) {
        return kind;
      }
    }
    throw new ManifestException("setService.kind: must be ZONE, REGION or VM");
  }

  private JsonNode manifestNode(Manifest manifest) throws ManifestException {
    return tree(manifests.encode(manifest));
  }

  private ObjectNode setServiceNode(ConfigChange.SetService set) {
    return mapper
        .createObjectNode()
        .put("kind", set.scope().kind().name())
        .put("name", set.scope().name())
        .put("out", set.out())
        .put("baseVersion", set.baseVersion());
  }

  private JsonNode tree(byte[] json) throws ManifestException {
    try {
      JsonNode node = mapper.readTree(json);
      if (node == null || !node.isObject()) {
        throw new ManifestException("a record of the configuration must be a JSON object");
      }
      return node;
    } catch (IOException e) {
      throw new ManifestException("a record of the configuration must be JSON", e);
    }
  }

  private byte[] bytes(JsonNode node) {
    try {
      return mapper.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("every JSON tree has a JSON text", e);
    }
  }

  private static void checkSize(byte[] json) throws ManifestException {
    if (json.length > MAX_BYTES) {
      throw new ManifestException(
          "the change has " + json.length + " bytes: make it at most " + MAX_BYTES);
    }
  }

  private static void checkOperation(String operation) throws ManifestException {
    if (operation.isBlank() || operation.length() > ConfigRecord.MAX_OPERATION_CHARS) {
      throw new ManifestException(
          "operation: must have 1 to " + ConfigRecord.MAX_OPERATION_CHARS + " characters");
    }
  }
}
