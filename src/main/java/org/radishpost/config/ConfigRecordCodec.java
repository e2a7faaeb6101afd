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

/** Encodes and decodes {@link ConfigRecord} as JSON; thread-safe. */
public final class ConfigRecordCodec {
  /** The maximum size of an encoded record, so that it fits into one frame of a link. */
  public static final int MAX_RECORD_BYTES = 900 * 1024;

  private static final int FORMAT_VERSION = 1;

  private final ManifestCodec manifestCodec;
  private final ObjectMapper mapper = JsonMapper.builder().build();

  /**
   * Creates a codec.
   *
   * @param manifestCodec the codec of the manifests in the records
   */
  public ConfigRecordCodec(ManifestCodec manifestCodec) {
    this.manifestCodec = manifestCodec;
  }

  /**
   * Encodes a record as JSON.
   *
   * @throws ManifestException if the record is too large or its operation ID is invalid
   */
  public byte[] encode(ConfigRecord record) throws ManifestException {
    checkOperationId(record.operationId());
    ObjectNode node = mapper.createObjectNode();
    node.put("form", FORMAT_VERSION);
    node.put("operation", record.operationId());
    node.put("author", record.author());
    switch (record.change()) {
      case ConfigChange.Publish(Manifest manifest) -> node.set("publish", manifestNode(manifest));
      case ConfigChange.SetService set -> node.set("setService", setServiceStateNode(set));
    }
    byte[] json = toBytes(node);
    checkSize(json);
    return json;
  }

  /**
   * Decodes a record.
   *
   * @throws ManifestException if the record is malformed, too large or of another format version
   */
  public ConfigRecord decode(byte[] json) throws ManifestException {
    checkSize(json);
    JsonNode node = parseObject(json);
    if (node.path("form").asInt() != FORMAT_VERSION) {
      throw new ManifestException("form: only form " + FORMAT_VERSION + " is supported");
    }
    String operationId = node.path("operation").asText();
    checkOperationId(operationId);
    return new ConfigRecord(operationId, node.path("author").asText(), readChange(node));
  }

  private ConfigChange readChange(JsonNode node) throws ManifestException {
    if (node.has("publish")) {
      return new ConfigChange.Publish(manifestCodec.decode(toBytes(node.get("publish"))));
    }
    JsonNode set = node.path("setService");
    JsonNode outOfService = set.path("out");
    JsonNode baseVersion = set.path("baseVersion");
    if (!outOfService.isBoolean()
        || !baseVersion.isIntegralNumber()
        || !baseVersion.canConvertToLong()) {
      throw new ManifestException("setService: 'out' and 'baseVersion' are missing or malformed");
    }
    Scope scope = new Scope(readKind(set.path("kind").asText()), set.path("name").asText());
    return new ConfigChange.SetService(scope, outOfService.booleanValue(), baseVersion.longValue());
  }

  private static Scope.Kind readKind(String name) throws ManifestException {
    for (Scope.Kind kind : Scope.Kind.values()) {
      if (kind.name().equals(name)) {
        return kind;
      }
    }
    throw new ManifestException("setService.kind: must be ZONE, REGION or VM");
  }

  private JsonNode manifestNode(Manifest manifest) throws ManifestException {
    return parseObject(manifestCodec.encode(manifest));
  }

  private ObjectNode setServiceStateNode(ConfigChange.SetService set) {
    return mapper
        .createObjectNode()
        .put("kind", set.scope().kind().name())
        .put("name", set.scope().name())
        .put("out", set.out())
        .put("baseVersion", set.baseVersion());
  }

  private JsonNode parseObject(byte[] json) throws ManifestException {
    try {
      JsonNode node = mapper.readTree(json);
      if (node == null || !node.isObject()) {
        throw new ManifestException("a configuration record must be a JSON object");
      }
      return node;
    } catch (IOException e) {
      throw new ManifestException("a configuration record must be JSON", e);
    }
  }

  private byte[] toBytes(JsonNode node) {
    try {
      return mapper.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot write a JSON tree", e);
    }
  }

  private static void checkSize(byte[] json) throws ManifestException {
    if (json.length > MAX_RECORD_BYTES) {
      throw new ManifestException(
          "the change has " + json.length + " bytes: reduce it to at most " + MAX_RECORD_BYTES);
    }
  }

  private static void checkOperationId(String operationId) throws ManifestException {
    if (operationId.isBlank() || operationId.length() > ConfigRecord.MAX_OPERATION_ID_CHARS) {
      throw new ManifestException(
          "operation: must have 1 to " + ConfigRecord.MAX_OPERATION_ID_CHARS + " characters");
    }
  }
}
