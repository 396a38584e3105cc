#include <string>

#include "schema_names.h"
#include "schema_writers.h"

namespace lacewingbridge::schema {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::FileDescriptor;
using google::protobuf::io::Printer;

namespace {

constexpr char kGeneratedNote[] =
    "// Generated from Source/Schema/$file$ by Utilities/SchemaGenerator. Do not edit.\n";

std::string ToWireValue(const FieldDescriptor& field, const std::string& value) {
  if (field.cpp_type() == FieldDescriptor::CPPTYPE_ENUM) {
    return "static_cast<wire::" + field.enum_type()->name() + ">(" + value + ")";
  }
  return value;
}

std::string FromWireValue(const FieldDescriptor& field, const std::string& value) {
  if (field.cpp_type() == FieldDescriptor::CPPTYPE_ENUM) {
    return "static_cast<" + field.enum_type()->name() + ">(" + value + ")";
  }
  return value;
}

void WriteFieldToWire(const FieldDescriptor& field, Printer& out) {
  const std::string name = field.lowercase_name();
  const bool is_message = field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE;
  if (field.is_repeated()) {
    out.Print("  for (const auto& element : plain.$name$) {\n", "name", name);
    if (is_message) {
      out.Print("    ToWire(element, *wire.add_$name$());\n", "name", name);
    } else {
      out.Print("    wire.add_$name$($value$);\n", "name", name, "value",
                ToWireValue(field, "element"));
    }
    out.Print("  }\n");
    return;
  }
  std::string value = "plain." + name;
  std::string indent = "  ";
  if (field.has_optional_keyword()) {
    out.Print("  if (plain.$name$.has_value()) {\n", "name", name);
    value = "*" + value;
    indent = "    ";
  }
  if (is_message && !field.has_optional_keyword()) {
    // A message with only default values takes no bytes.
    out.Print("  if (plain.$name$ != $type${}) {\n", "name", name, "type", GetElementType(field));
    out.Print("    ToWire(plain.$name$, *wire.mutable_$name$());\n  }\n", "name", name);
    return;
  }
  if (is_message) {
    out.Print("$indent$ToWire($value$, *wire.mutable_$name$());\n", "indent", indent, "value",
              value, "name", name);
  } else {
    out.Print("$indent$wire.set_$name$($value$);\n", "indent", indent, "name", name, "value",
              ToWireValue(field, value));
  }
  if (field.has_optional_keyword()) {
    out.Print("  }\n");
  }
}

void WriteFieldFromWire(const FieldDescriptor& field, Printer& out) {
  const std::string name = field.lowercase_name();
  const bool is_message = field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE;
  if (field.is_repeated()) {
    out.Print("  plain.$name$.reserve(static_cast<std::size_t>(wire.$name$_size()));\n", "name",
              name);
    out.Print("  for (const auto& element : wire.$name$()) {\n", "name", name);
    if (is_message) {
      out.Print("    FromWire(element, plain.$name$.emplace_back());\n", "name", name);
    } else {
      out.Print("    plain.$name$.push_back($value$);\n", "name", name, "value",
                FromWireValue(field, "element"));
    }
    out.Print("  }\n");
    return;
  }
  const std::string getter = "wire." + name + "()";
  if (field.has_optional_keyword()) {
    out.Print("  if (wire.has_$name$()) {\n", "name", name);
    if (is_message) {
      out.Print("    FromWire($getter$, plain.$name$.emplace());\n", "getter", getter, "name",
                name);
    } else {
      out.Print("    plain.$name$ = $value$;\n", "name", name, "value",
                FromWireValue(field, getter));
    }
    out.Print("  }\n");
    return;
  }
  if (is_message) {
    out.Print("  FromWire($getter$, plain.$name$);\n", "getter", getter, "name", name);
    return;
  }
  out.Print("  plain.$name$ = $value$;\n", "name", name, "value", FromWireValue(field, getter));
}

void WriteConversions(const Descriptor& message, Printer& out) {
  const std::string& name = message.name();
  out.Print("void ToWire(const $name$& plain, wire::$name$& wire) {\n", "name", name);
  for (int i = 0; i < message.field_count(); ++i) {
    WriteFieldToWire(*message.field(i), out);
  }
  out.Print("}\n\nvoid FromWire(const wire::$name$& wire, $name$& plain) {\n", "name", name);
  for (int i = 0; i < message.field_count(); ++i) {
    WriteFieldFromWire(*message.field(i), out);
  }
  out.Print("}\n\n");
}

void WriteEntryPoints(const Descriptor& message, Printer& out) {
  out.Print(
      "std::string Encode(const $name$& plain) {\n"
      "  wire::$name$ wire;\n  ToWire(plain, wire);\n  return wire.SerializeAsString();\n}\n\n"
      "bool Decode(std::string_view bytes, $name$& plain) {\n"
      "  wire::$name$ wire;\n"
      "  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {\n"
      "    return false;\n  }\n"
      "  plain = {};\n  FromWire(wire, plain);\n  return true;\n}\n\n"
      "std::string EncodeJson(const $name$& plain) {\n"
      "  wire::$name$ wire;\n  ToWire(plain, wire);\n  std::string text;\n"
      "  google::protobuf::util::JsonPrintOptions options;\n"
      "  options.preserve_proto_field_names = true;\n"
      "  options.always_print_primitive_fields = true;\n"
      "  if (!google::protobuf::util::MessageToJsonString(wire, &text, options).ok()) {\n"
      "    return {};\n  }\n  return text;\n}\n\n"
      "bool DecodeJson(std::string_view text, $name$& plain) {\n"
      "  wire::$name$ wire;\n"
      "  if (!google::protobuf::util::JsonStringToMessage(\n"
      "           google::protobuf::StringPiece(text.data(), text.size()), &wire)\n"
      "           .ok()) {\n    return false;\n  }\n"
      "  plain = {};\n  FromWire(wire, plain);\n  return true;\n}\n\n",
      "name", message.name());
}

}  // namespace

void WriteCodecHeader(const FileDescriptor& file, Printer& out) {
  const std::string base = GetBaseName(file);
  out.Print(kGeneratedNote, "file", file.name());
  out.Print(
      "#pragma once\n\n#include <string>\n#include <string_view>\n\n"
      "#include \"$base$.h\"\n\nnamespace lacewingbridge {\n\n"
      "// Encode writes protobuf bytes, EncodeJson the protobuf JSON mapping.\n"
      "// Decode and DecodeJson return false for malformed input.\n",
      "base", base);
  for (int i = 0; i < file.message_type_count(); ++i) {
    out.Print(
        "std::string Encode(const $name$& plain);\n"
        "bool Decode(std::string_view bytes, $name$& plain);\n"
        "std::string EncodeJson(const $name$& plain);\n"
        "bool DecodeJson(std::string_view text, $name$& plain);\n",
        "name", file.message_type(i)->name());
  }
  out.Print("\nnamespace wire {\n");
  for (int i = 0; i < file.message_type_count(); ++i) {
    out.Print("class $name$;\n", "name", file.message_type(i)->name());
  }
  out.Print("}  // namespace wire\n\n");
  for (int i = 0; i < file.message_type_count(); ++i) {
    out.Print(
        "void ToWire(const $name$& plain, wire::$name$& wire);\n"
        "void FromWire(const wire::$name$& wire, $name$& plain);\n",
        "name", file.message_type(i)->name());
  }
  out.Print("\n}  // namespace lacewingbridge\n");
}

void WriteCodecSource(const FileDescriptor& file, Printer& out) {
  const std::string base = GetBaseName(file);
  out.Print(kGeneratedNote, "file", file.name());
  out.Print("#include \"$base$_codec.h\"\n\n#include <google/protobuf/util/json_util.h>\n\n",
            "base", base);
  out.Print("#include \"$base$.pb.h\"\n", "base", base);
  for (int i = 0; i < file.dependency_count(); ++i) {
    const std::string name = GetBaseName(*file.dependency(i));
    if (name != "options") {
      out.Print("#include \"$name$_codec.h\"\n", "name", name);
    }
  }
  out.Print("\nnamespace lacewingbridge {\n\n");
  for (int i = 0; i < file.message_type_count(); ++i) {
    WriteConversions(*file.message_type(i), out);
    WriteEntryPoints(*file.message_type(i), out);
  }
  out.Print("}  // namespace lacewingbridge\n");
}

}  // namespace lacewingbridge::schema
