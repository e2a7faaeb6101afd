package org.radishpost.link;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonSetter;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.annotation.Nulls;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.introspect.Annotated;
import com.fasterxml.jackson.databind.introspect.AnnotatedClass;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.util.Objects;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.radishpost.claims.ClaimResult;
import org.radishpost.errors.LinkException;

/** Converts records to and from MessagePack arrays, in the order of their components. */
final class LinkMapper {
  private static final ObjectMapper MAPPER = mapper();

  @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
  @JsonSubTypes({
    @JsonSubTypes.Type(value = ClaimResult.Granted.class, name = "1"),
    @JsonSubTypes.Type(value = ClaimResult.Completed.class, name = "2"),
    @JsonSubTypes.Type(value = ClaimResult.Held.class, name = "3"),
    @JsonSubTypes.Type(value = ClaimResult.KeyTooOld.class, name = "4"),
    @JsonSubTypes.Type(value = ClaimResult.KeyMisused.class, name = "5"),
    @JsonSubTypes.Type(value = ClaimResult.Unavailable.class, name = "6")
  })
  private interface ClaimResultMixIn {}

  private static final class RecordsAsArrays extends JacksonAnnotationIntrospector {
    private static final long serialVersionUID = 1L;

    @Override
    public JsonFormat.Value findFormat(Annotated annotated) {
      return annotated instanceof AnnotatedClass type && type.getRawType().isRecord()
          ? JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY)
          : super.findFormat(annotated);
    }
  }

  private LinkMapper() {}

  static byte[] write(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (IOException e) {
      throw new IllegalArgumentException("the record has a component that cannot be encoded", e);
    }
  }

  /**
   * Decodes a record.
   *
   * @throws LinkException if the bytes are not a valid record of the type; unchecked exceptions of
   *     the parser are wrapped in it
   */
  static <T> T read(byte[] bytes, Class<T> type) throws LinkException {
    try {
      checkStructure(bytes);
      return Objects.requireNonNull(MAPPER.readValue(bytes, type), "a record");
    } catch (IOException | RuntimeException e) {
      throw new LinkException(
          "A message is corrupt. Check that both VMs run a release of radishpost.", e);
    }
  }

  /**
   * Skips over all values, which rejects a declared length that exceeds the input before the
   * decoder uses it.
   */
  private static void checkStructure(byte[] bytes) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      while (unpacker.hasNext()) {
        unpacker.skipValue();
      }
    }
  }

  private static ObjectMapper mapper() {
    ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
    mapper.registerModule(new Jdk8Module());
    mapper.setAnnotationIntrospector(new RecordsAsArrays());
    mapper.addMixIn(ClaimResult.class, ClaimResultMixIn.class);
    mapper.disable(SerializationFeature.FAIL_ON_EMPTY_BEANS);
    mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    mapper.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);
    mapper.enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES);
    mapper.enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES);
    mapper.setDefaultSetterInfo(JsonSetter.Value.forContentNulls(Nulls.FAIL));
    return mapper;
  }
}
