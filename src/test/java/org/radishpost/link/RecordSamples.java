package org.radishpost.link;

import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.radishpost.lib.Digest;
import org.radishpost.lib.Endpoint;

/** Makes records with chance content, and compares them in depth. */
final class RecordSamples {
  private final Random random;

  RecordSamples(long seed) {
    this.random = new Random(seed);
  }

  /** Returns a value of the type. */
  Object of(Type type) throws ReflectiveOperationException {
    if (type instanceof ParameterizedType generic) {
      return container(generic);
    }
    Class<?> plain = (Class<?>) type;
    if (plain.equals(Digest.class)) {
      return Digest.of(String.valueOf(random.nextLong()));
    }
    if (plain.equals(Endpoint.class)) {
      return new Endpoint("10.1.2." + random.nextInt(256), random.nextInt(65_536));
    }
    if (plain.isSealed()) {
      Class<?>[] kinds = plain.getPermittedSubclasses();
      return of(kinds[random.nextInt(kinds.length)]);
    }
    return plain.isRecord() ? record(plain) : simple(plain);
  }

  private Object container(ParameterizedType generic) throws ReflectiveOperationException {
    Object item = of(generic.getActualTypeArguments()[0]);
    boolean empty = random.nextInt(4) == 0;
    if (generic.getRawType().equals(Optional.class)) {
      return empty ? Optional.empty() : Optional.of(item);
    }
    if (generic.getRawType().equals(Set.class)) {
      return empty ? Set.of() : Set.of(item);
    }
    return empty ? List.of() : List.of(item, of(generic.getActualTypeArguments()[0]));
  }

  private Object record(Class<?> type) throws ReflectiveOperationException {
    RecordComponent[] components = type.getRecordComponents();
    Object[] values = new Object[components.length];
    Class<?>[] types = new Class<?>[components.length];
    for (int i = 0; i < components.length; i++) {
      values[i] = of(components[i].getGenericType());
      types[i] = components[i].getType();
    }
    var constructor = type.getDeclaredConstructor(types);
    constructor.setAccessible(true);
    return constructor.newInstance(values);
  }

  private Object simple(Class<?> type) {
    if (type.equals(byte[].class)) {
      byte[] bytes = new byte[random.nextInt(300)];
      random.nextBytes(bytes);
      return bytes;
    }
    return switch (type.getName()) {
      case "long" -> random.nextLong() >> random.nextInt(64);
      case "int" -> random.nextInt() >> random.nextInt(32);
      case "boolean" -> random.nextBoolean();
      case "java.lang.String" -> "név-" + random.nextInt(1000);
      default -> throw new IllegalArgumentException("no sample for " + type);
    };
  }

  /** Tells whether two values are equal, arrays by their content. */
  static boolean same(Object one, Object other) throws ReflectiveOperationException {
    if (one instanceof byte[] bytes) {
      return Arrays.equals(bytes, (byte[]) other);
    }
    if (one instanceof List<?> list) {
      return list.size() == ((List<?>) other).size()
          && (list.isEmpty() || same(list.getFirst(), ((List<?>) other).getFirst()));
    }
    if (one instanceof Optional<?> optional && optional.isPresent()) {
      return same(optional.get(), ((Optional<?>) other).orElseThrow());
    }
    if (!one.getClass().isRecord() || !one.getClass().equals(other.getClass())) {
      return one.equals(other);
    }
    for (RecordComponent component : one.getClass().getRecordComponents()) {
      var accessor = component.getAccessor();
      accessor.setAccessible(true);
      if (!same(accessor.invoke(one), accessor.invoke(other))) {
        return false;
      }
    }
    return true;
  }
}
