package gateway

import (
	"errors"
	"io"
	"mime"
	"mime/multipart"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/sloelift/sloelift/internal/job"
)

const (
	purposeBatch       = "batch"
	purposeBatchOutput = "batch_output"
	objectFile         = "file"
	partFile           = "file"
	partPurpose        = "purpose"
	maxPurposeBytes    = 64
	// maxExtraParts bounds the multipart parts that the gateway does not use.
	maxExtraParts = 16
	contentJSONL  = "application/jsonl"
)

// fileBody is the file object of the OpenAI API.
type fileBody struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     int64  `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
	Status    string `json:"status"`
}

type deletedBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Deleted bool   `json:"deleted"`
}

func newFileBody(file job.File) fileBody {
	return fileBody{
		ID: file.ID, Object: objectFile, Bytes: file.Bytes, CreatedAt: file.CreatedAt.Unix(),
		Filename: file.Name, Purpose: file.Purpose, Status: "processed",
	}
}

func (s *Server) uploadFile(w http.ResponseWriter, r *http.Request, call authenticatedCall) error {
	upload := newUploadBody(w, r, s.limits.MaxBatchFileBytes, s.limits.BodyTimeout)
	_, parameters, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || parameters["boundary"] == "" {
		return invalid("the body must be multipart/form-data with the parts file and purpose")
	}
	file, err := s.storeUpload(r, call, multipart.NewReader(upload, parameters["boundary"]))
	if err != nil {
		return err
	}
	upload.clearDeadline()
	writeJSON(w, http.StatusOK, newFileBody(file))
	return nil
}

// storeUpload stores the file part while it is received. The purpose may follow the file; if it is
// then found invalid, the file is deleted again.
func (s *Server) storeUpload(r *http.Request, call authenticatedCall, parts *multipart.Reader) (job.File, error) {
	var file job.File
	var purposeError error
	stored, purposeReceived := false, false
	for count := 0; ; count++ {
		part, err := parts.NextPart()
		if errors.Is(err, io.EOF) {
			break
		}
		if err == nil && count > maxExtraParts {
			err = invalid("too many parts")
		}
		if err == nil {
			switch part.FormName() {
			case partPurpose:
				purposeReceived = true
				purposeError = checkPurpose(part)
			case partFile:
				if stored {
					err = invalid("file: only one is accepted")
					break
				}
				file, err = s.storePart(r, call, part)
				stored = err == nil
			}
		}
		if err != nil {
			s.deleteStored(r, call, file, stored)
			return job.File{}, bodyError(err)
		}
	}
	if purposeError == nil && !purposeReceived {
		purposeError = invalid("purpose: is required")
	}
	if purposeError != nil {
		s.deleteStored(r, call, file, stored)
		return job.File{}, bodyError(purposeError)
	}
	if !stored {
		return job.File{}, invalid("file: is required")
	}
	return file, nil
}

func checkPurpose(part io.Reader) error {
	purpose, err := io.ReadAll(io.LimitReader(part, maxPurposeBytes))
	if err != nil {
		return err
	}
	if string(purpose) != purposeBatch {
		return invalid(`purpose: must be "batch"`)
	}
	return nil
}

// storePart stores one part. If reading the body failed, it returns that error, not the store's.
func (s *Server) storePart(r *http.Request, call authenticatedCall, part *multipart.Part) (job.File, error) {
	content := &errorRecordingReader{reader: part}
	file, err := s.files.Put(r.Context(), call.tenant.Name, part.FileName(), purposeBatch, content)
	if content.err != nil {
		if err == nil {
			s.deleteStored(r, call, file, true)
		}
		return job.File{}, content.err
	}
	return file, err
}

// errorRecordingReader records the error of the wrapped reader, other than io.EOF.
type errorRecordingReader struct {
	reader io.Reader
	err    error
}

// Read implements io.Reader.
func (r *errorRecordingReader) Read(into []byte) (int, error) {
	count, err := r.reader.Read(into)
	if err != nil && !errors.Is(err, io.EOF) {
		r.err = err
	}
	return count, err
}

func (s *Server) deleteStored(r *http.Request, call authenticatedCall, file job.File, stored bool) {
	if !stored {
		return
	}
	if err := s.files.Delete(r.Context(), call.tenant.Name, file.ID); err != nil {
		s.logger.Warn().Err(err).Str("file", file.ID).Msg("file of a refused upload could not be deleted")
	}
}

func (s *Server) listFiles(w http.ResponseWriter, r *http.Request, call authenticatedCall) error {
	requested, err := parsePage(r)
	if err != nil {
		return err
	}
	if purpose := r.URL.Query().Get("purpose"); purpose != "" && purpose != purposeBatch {
		writeJSON(w, http.StatusOK, listBody[fileBody]{Object: objectList, Data: []fileBody{}})
		return nil
	}
	files, err := s.files.List(r.Context(), call.tenant.Name, requested.after, requested.limit+1)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, newListBody(files, requested, newFileBody, func(file fileBody) string { return file.ID }))
	return nil
}

func (s *Server) getFile(w http.ResponseWriter, r *http.Request, call authenticatedCall) error {
	id := mux.Vars(r)["file"]
	if output, ok := parseOutputID(id); ok {
		body, err := s.outputFile(r, call, output)
		if err != nil {
			return err
		}
		writeJSON(w, http.StatusOK, body)
		return nil
	}
	file, err := s.files.Get(r.Context(), call.tenant.Name, id)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, newFileBody(file))
	return nil
}

func (s *Server) getFileContent(w http.ResponseWriter, r *http.Request, call authenticatedCall) error {
	id := mux.Vars(r)["file"]
	if output, ok := parseOutputID(id); ok {
		return s.writeOutput(w, r, call, output)
	}
	if _, err := s.files.Get(r.Context(), call.tenant.Name, id); err != nil {
		return err
	}
	content := newContentWriter(w, s.limits.BodyTimeout)
	if err := s.files.Read(r.Context(), call.tenant.Name, id, content); err != nil {
		return content.fail(err)
	}
	return content.end()
}

func (s *Server) deleteFile(w http.ResponseWriter, r *http.Request, call authenticatedCall) error {
	id := mux.Vars(r)["file"]
	if _, ok := parseOutputID(id); ok {
		return invalid("results are deleted when their retention ends")
	}
	if err := s.files.Delete(r.Context(), call.tenant.Name, id); err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, deletedBody{ID: id, Object: objectFile, Deleted: true})
	return nil
}
