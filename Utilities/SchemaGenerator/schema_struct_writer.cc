#include <string>

#include "schema_names.h"
#include "schema_writers.h"

namespace lacewingbridge::schema {

using google::protobuf::Descriptor;
using google::protobuf::EnumDescriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::FileDescriptor;
using google::protobuf::io::Printer;

namespace {

void WriteEnum(const EnumDescriptor& type, Printer& out) {
  out.Print("enum class $name$ {\n", "name", type.name());
  for (int i = 0; i < type.value_count(); ++i) {
    out.Print("  $name$ = $number$,\n", "name", GetEnumeratorName(*type.value(i)), "number",
              std::to_string(type.value(i)->number()));
  }
  out.Print("};\n\n");
  out.Print(
      "// Word for a value, as shown to people.\n"
      "constexpr std::string_view GetName($type$ value) {\n"
      "  switch (value) {\n",
      "type", type.name());
  for (int i = 0; i < type.value_count(); ++i) {
    out.Print("    case $type$::$name$:\n      return \"$word$\";\n", "type", type.name(), "name",
              GetEnumeratorName(*type.value(i)), "word", GetEnumeratorWord(*type.value(i)));
  }
  out.Print("  }\n  return \"invalid\";\n}\n\n");
}

std::string GetInitializer(const FieldDescriptor& field) {
  if (field.is_repeated() || field.has_optional_keyword()) {
    return "";
  }
  switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_STRING:
    case FieldDescriptor::CPPTYPE_MESSAGE:
      return "";
    case FieldDescriptor::CPPTYPE_BOOL:
      return " = false";
    case FieldDescriptor::CPPTYPE_ENUM:
      return " = " + field.enum_type()->name() +
             "::" + GetEnumeratorName(*field.enum_type()->value(0));
    default:
      return " = 0";
  }
}

void WriteMessage(const Descriptor& message, Printer& out) {
  out.Print("struct $name$ {\n", "name", message.name());
  for (int i = 0; i < message.field_count(); ++i) {
    const FieldDescriptor& field = *message.field(i);
    out.Print("  $type$ $name$$init$;\n", "type", GetMemberType(field), "name", field.name(),
              "init", GetInitializer(field));
  }
  out.Print("\n  bool operator==(const $name$&) const = default;\n};\n\n", "name", message.name());
}

}  // namespace

void WriteStructHeader(const FileDescriptor& file, Printer& out) {
  out.Print(
      "// Generated from Source/Schema/$file$ by Utilities/SchemaGenerator. Do not edit.\n"
      "#pragma once\n\n"
      "#include <array>\n#include <cstdint>\n#include <optional>\n#include <string>\n"
      "#include <string_view>\n#include <vector>\n\n",
      "file", file.name());
  for (int i = 0; i < file.dependency_count(); ++i) {
    const std::string name = GetBaseName(*file.dependency(i));
    if (name != "options") {
      out.Print("#include \"$name$.h\"\n", "name", name);
    }
  }
  out.Print("\nnamespace lacewingbridge {\n\n");
  for (int i = 0; i < file.enum_type_count(); ++i) {
    WriteEnum(*file.enum_type(i), out);
  }
  for (int i = 0; i < file.message_type_count(); ++i) {
    WriteMessage(*file.message_type(i), out);
  }
  WriteTables(file, out);
  out.Print("}  // namespace lacewingbridge\n");
}

}  // namespace lacewingbridge::schema
